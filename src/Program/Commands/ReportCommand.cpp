#include "Program/Commands/ReportCommand.h"

#include "Operator/RunReport.h"
#include "Program/Commands/LogFiles.h"

namespace parsleywing {

namespace options = boost::program_options;

OptionsDescription ReportCommand::options() {
  OptionsDescription Options("Options");
  Options.add_options()(
      "log",
      options::value<std::vector<std::string>>()
          ->default_value({LogFiles::StandardInput}, LogFiles::StandardInput)
          ->value_name("LOG"),
      "log of a router; - for standard input")(
      "plot", options::value<std::string>()->value_name("FILE"),
      "also write a gnuplot script: requests and delay per second");
  return Options;
}

PositionalOptions ReportCommand::positional() {
  PositionalOptions Arguments;
  Arguments.add("log", -1);
  return Arguments;
}

ExitCode ReportCommand::run(const OptionValues &Values) {
  LogFiles Logs(optionValue<std::vector<std::string>>(Values, "log"));
  RunReport Summary;
  const auto Scanned = Logs.forEachLine(
      [&Summary](const std::string &Source, const std::string &Line) {
        Summary.add(Source, Line);
      });
  if (!Scanned)
    return printError(Scanned.error());
  if (Summary.requests() == 0)
    return printError(
        {ErrorCode::NotFound, "no line reports the end of a request"},
        ExitCode::Failed);
  if (Values.count("plot") > 0) {
    const auto &Path = optionValue<std::string>(Values, "plot");
    std::ofstream File(Path);
    Summary.printPlot(File);
    File.close();
    if (!File)
      return printError({ErrorCode::Unreachable, Path + " cannot be written"});
  }
  Summary.print(std::cout);
  return ExitCode::Success;
}

} // namespace parsleywing
