/* An attempt of another entry is ended as not run, which frees its key although the attempt may have been sent. */
#define ABANDON_FREES
#include "once.pml"
