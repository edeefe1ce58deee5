#include "Program/Router.h"
#include "Runtime/Log.h"

#include <boost/program_options.hpp>
#include <iostream>

using namespace parsleywing;

namespace {

/// What the process tells the shell.
enum ExitCode { Success = 0, Failed = 1, WrongUsage = 2, BadInput = 3 };

int run(const std::string &SettingsPath) {
  const auto Wanted = readSettings(SettingsPath);
  if (!Wanted) {
    std::cerr << Wanted.error().Message << '\n';
    return BadInput;
  }
  const auto Logging = startLogging(Wanted->Level, Wanted->LogTarget);
  if (!Logging) {
    std::cerr << Logging.error().Message << '\n';
    return BadInput;
  }
  const auto Ran = runRouter(*Wanted);
  if (!Ran) {
    std::cerr << Ran.error().Message << '\n';
    return Failed;
  }
  return Success;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  options::options_description Visible("parsleywing router --settings FILE");
  Visible.add_options()("help", "print this text")(
      "settings", options::value<std::string>()->required(), "settings file");
  try {
    options::variables_map Given;
    if (ArgumentCount < 2 || std::string(Arguments[1]) != "router") {
      std::cerr << Visible;
      return WrongUsage;
    }
    options::store(
        options::parse_command_line(ArgumentCount - 1, Arguments + 1, Visible),
        Given);
    options::notify(Given);
    return run(Given["settings"].as<std::string>());
  } catch (const options::error &Problem) {
    std::cerr << "parsleywing: " << Problem.what() << '\n';
    return WrongUsage;
  }
}
