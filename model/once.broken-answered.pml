/* An attempt that was answered not_run is still sent when its start lands late. */
#define SEND_AFTER_ANSWER
#include "once.pml"
