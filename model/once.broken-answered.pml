/* An attempt that was answered not_run is still sent if its start record lands late. */
#define SEND_AFTER_ANSWER
#include "once.pml"
