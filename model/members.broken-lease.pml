/* A removed entry sends calls without a lease, until it reads its removal. */
#define NO_LEASE
#include "members.pml"
