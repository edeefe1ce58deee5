#include "Program/Commands/TraceCommand.h"

#include "Operator/RequestStory.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <vector>

namespace parsleywing {

namespace options = boost::program_options;

namespace {

constexpr const char *StandardInput = "-";
/// Clocks of VMs differ by some tens of milliseconds; the rest shows what led
/// up to a decision: a store lost, a drain begun.
constexpr double DefaultAround = 2;
constexpr double MostAround = 3600;

/// The logs, each read line by line as often as is wanted. Standard input can
/// be read only once, so it is kept.
class LogFiles {
public:
  explicit LogFiles(std::vector<std::string> P) : Paths(std::move(P)) {}

  /// Calls `Look` with the source and the text of every line.
  template <typename Function> Result<void> forEachLine(Function Look) {
    for (const std::string &Path : this->Paths) {
      if (Path == StandardInput) {
        std::istringstream Kept(this->keptInput());
        each(Kept, Path, Look);
        continue;
      }
      std::ifstream File(Path);
      if (!File)
        return failure(ErrorCode::NotFound, Path + " cannot be opened");
      each(File, Path, Look);
    }
    return {};
  }

private:
  template <typename Function>
  static void each(std::istream &From, const std::string &Path,
                   const Function &Look) {
    std::string Line;
    while (std::getline(From, Line))
      Look(Path, Line);
  }

  const std::string &keptInput() {
    if (!this->InputRead)
      this->Input.assign(std::istreambuf_iterator<char>(std::cin), {});
    this->InputRead = true;
    return this->Input;
  }

  std::vector<std::string> Paths;
  std::string Input;
  bool InputRead = false;
};

} // namespace

OptionsDescription TraceCommand::options() {
  OptionsDescription Known("Options");
  Known.add_options()(
      "id", options::value<std::string>()->required()->value_name("ID"),
      "identity of the request")(
      "log",
      options::value<std::vector<std::string>>()
          ->default_value({StandardInput}, StandardInput)
          ->value_name("LOG"),
      "log of a router; - for standard input")(
      "around",
      options::value<double>()
          ->default_value(DefaultAround, "2")
          ->value_name("SECONDS"),
      "how long before and after the routers' own lines are shown");
  return Known;
}

PositionalOptions TraceCommand::positional() {
  PositionalOptions Places;
  Places.add("id", 1);
  Places.add("log", -1);
  return Places;
}

ExitCode TraceCommand::run(const OptionValues &Given) {
  const auto Seconds = valueOf<double>(Given, "around");
  if (!(Seconds >= 0 && Seconds <= MostAround))
    return report({ErrorCode::InvalidInput,
                   "trace: --around must be from 0 to 3600 seconds"},
                  ExitCode::WrongUsage);
  const auto &Id = valueOf<std::string>(Given, "id");
  LogFiles Logs(valueOf<std::vector<std::string>>(Given, "log"));
  RequestStory Story(Id, std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(Seconds)));
  const auto Looked =
      Logs.forEachLine([&Story](const std::string &, const std::string &Line) {
        Story.look(Line);
      });
  if (!Looked)
    return report(Looked.error());
  if (!Story.begin())
    return report({ErrorCode::NotFound, "no line names the request " + Id},
                  ExitCode::Failed);
  const auto Gathered = Logs.forEachLine(
      [&Story](const std::string &Source, const std::string &Line) {
        Story.gather(Source, Line);
      });
  if (!Gathered)
    return report(Gathered.error());
  for (const RequestStory::Line &Each : Story.lines())
    std::cout << (Each.Named ? "* " : "  ") << Each.Source << ": " << Each.Text
              << '\n';
  return ExitCode::Success;
}

} // namespace parsleywing
