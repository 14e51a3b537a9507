/* A not_run record frees the key even if another attempt holds it. */
#define ANY_NOT_RUN
#define ATTEMPTS 3
#include "once.pml"
