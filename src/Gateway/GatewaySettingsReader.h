#ifndef PARSLEYWING_GATEWAY_GATEWAYSETTINGSREADER_H
#define PARSLEYWING_GATEWAY_GATEWAYSETTINGSREADER_H

#include "Gateway/GatewayContext.h"
#include "Operator/IniFile.h"

namespace parsleywing {

/// The settings of `parsleywing gateway`, with what the store needs.
struct GatewayFileSettings {
  GatewaySettings Gateway;
  /// Numeric IP and port of the platform's store.
  std::string StoreAddress;
};

/// Reads and checks a settings file. The first problem is returned as one
/// sentence with the file, line, section and key.
Result<GatewayFileSettings> readGatewaySettings(const std::string &Path);
Result<GatewayFileSettings> readGatewaySettings(const IniFile &File);

} // namespace parsleywing

#endif
