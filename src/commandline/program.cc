#include "commandline/program.h"

#include <iostream>

#include "buildinfo/build_info.h"

namespace jujubefront {

int RunProgram(const Program& program, int argc, char** argv) {
  cxxopts::Options options(program.name_, program.description_);
  if (!program.positional_help_.empty()) {
    options.positional_help(program.positional_help_);
  }
  program.add_options_(options);
  options.add_options()("version", "print the version and exit")(
      "h,help", "print this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (arguments.count("version") > 0) {
      std::cout << program.name_ << ' ' << JUJUBEFRONT_VERSION << " (sources "
                << SourceDigest() << ")\n";
      return 0;
    }
    return program.run_(arguments);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << program.name_ << ": " << error.what() << '\n';
    return kUsageExitCode;
  }
}

}  // namespace jujubefront
