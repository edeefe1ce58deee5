#include "Program/Commands/ReportCommand.h"

#include "Operator/RunReport.h"
#include "Program/Commands/LogFiles.h"

namespace parsleywing {

namespace options = boost::program_options;

OptionsDescription ReportCommand::options() {
  OptionsDescription Known("Options");
  Known.add_options()(
      "log",
      options::value<std::vector<std::string>>()
          ->default_value({LogFiles::StandardInput}, LogFiles::StandardInput)
          ->value_name("LOG"),
      "log of a router; - for standard input")(
      "plot", options::value<std::string>()->value_name("FILE"),
      "also write a program for gnuplot: requests and delay by second");
  return Known;
}

PositionalOptions ReportCommand::positional() {
  PositionalOptions Places;
  Places.add("log", -1);
  return Places;
}

ExitCode ReportCommand::run(const OptionValues &Given) {
  LogFiles Logs(optionValue<std::vector<std::string>>(Given, "log"));
  RunReport Whole;
  const auto Read = Logs.forEachLine(
      [&Whole](const std::string &Source, const std::string &Line) {
        Whole.add(Source, Line);
      });
  if (!Read)
    return printError(Read.error());
  if (Whole.requests() == 0)
    return printError(
        {ErrorCode::NotFound, "no line tells the end of a request"},
        ExitCode::Failed);
  if (Given.count("plot") > 0) {
    const auto &Path = optionValue<std::string>(Given, "plot");
    std::ofstream File(Path);
    Whole.printPlot(File);
    File.close();
    if (!File)
      return printError({ErrorCode::Unreachable, Path + " cannot be written"});
  }
  Whole.print(std::cout);
  return ExitCode::Success;
}

} // namespace parsleywing
