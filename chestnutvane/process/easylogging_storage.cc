// The storage that easylogging++ expects its program to define. It stands in the library's own
// target, so that every program that links the library can be linked.

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
