// Prints docs/fault-matrix.md.

#include "proof/fault_matrix.h"

#include <cstdio>

int main() { return std::fputs(mimosa::printMatrix().c_str(), stdout) < 0; }
