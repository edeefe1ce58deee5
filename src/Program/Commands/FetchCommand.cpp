#include "Program/Commands/FetchCommand.h"

#include "Operator/OperatorClient.h"

namespace parsleywing {

namespace options = boost::program_options;

OptionsDescription FetchCommand::options() const {
  OptionsDescription Known("Options");
  Known.add_options()(
      "router",
      options::value<std::string>()->required()->value_name("ADDRESS"),
      "the router's [listen] operators address");
  return Known;
}

ExitCode FetchCommand::run(const OptionValues &Given) const {
  const OperatorClient Router(optionValue<std::string>(Given, "router"));
  const auto Body = Router.get(this->Path);
  if (!Body)
    return printError(Body.error());
  std::cout << *Body;
  return ExitCode::Success;
}

} // namespace parsleywing
