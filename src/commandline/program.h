#ifndef JUJUBEFRONT_COMMANDLINE_PROGRAM_H_
#define JUJUBEFRONT_COMMANDLINE_PROGRAM_H_

#include <cxxopts.hpp>
#include <functional>
#include <string>

namespace jujubefront {

// Exit code for a wrong command line or unreadable input, in every program.
inline constexpr int kUsageExitCode = 2;

// Description of a program for RunProgram.
struct Program {
  std::string name_;
  std::string description_;
  std::string positional_help_;
  // Adds the program's own options.
  std::function<void(cxxopts::Options&)> add_options_;
  // Does the work and returns the exit code.
  std::function<int(const cxxopts::ParseResult&)> run_;
};

// Parses the command line, handles --help and --version, and runs the program.
// Returns the exit code.
int RunProgram(const Program& program, int argc, char** argv);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_COMMANDLINE_PROGRAM_H_
