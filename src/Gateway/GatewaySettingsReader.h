#ifndef PARSLEYWING_GATEWAY_GATEWAYSETTINGSREADER_H
#define PARSLEYWING_GATEWAY_GATEWAYSETTINGSREADER_H

#include "Gateway/GatewayContext.h"
#include "Operator/IniFile.h"

namespace parsleywing {

/// The settings file of `parsleywing gateway`.
struct GatewayFileSettings {
  GatewaySettings Gateway;
  /// Numeric IP and port of the platform's store.
  std::string StoreAddress;
};

/// Reads and checks a settings file. The error message describes the first
/// problem in one sentence, with file, line, section and key.
Result<GatewayFileSettings> readGatewaySettings(const std::string &Path);
Result<GatewayFileSettings> readGatewaySettings(const IniFile &File);

} // namespace parsleywing

#endif
