// Starts child processes of test programs.
#pragma once

#include <string>
#include <vector>

namespace chestnutvane {

// Starts a program with its path as the first argument. Its output is added to a file. Returns the
// process id, or 0 if it did not start.
int spawnProgram(const std::vector<std::string> &arguments, const std::string &output);

} // namespace chestnutvane
