/* The writer believes the answer to its append and not the order of the log. */
#define BELIEVE_APPEND
#include "once.pml"
