#include "Program/Commands/FetchCommand.h"

#include "Operator/OperatorClient.h"

namespace parsleywing {

namespace options = boost::program_options;

OptionsDescription FetchCommand::options() const {
  OptionsDescription Options("Options");
  Options.add_options()(
      "router",
      options::value<std::string>()->required()->value_name("ADDRESS"),
      "the router's [listen] operators address");
  return Options;
}

ExitCode FetchCommand::run(const OptionValues &Values) const {
  const OperatorClient Router(optionValue<std::string>(Values, "router"));
  const auto Body = Router.get(this->Path);
  if (!Body)
    return printError(Body.error());
  std::cout << *Body;
  return ExitCode::Success;
}

} // namespace parsleywing
