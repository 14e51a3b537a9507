/* A removed entry starts calls until it reads of its removal. */
#define NO_LEASE
#include "members.pml"
