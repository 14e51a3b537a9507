/* The writer relies on the answer to its append instead of the order of the log. */
#define BELIEVE_APPEND
#include "once.pml"
