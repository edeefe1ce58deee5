#ifndef PARSLEYWING_RUNTIME_NUMERICADDRESS_H
#define PARSLEYWING_RUNTIME_NUMERICADDRESS_H

#include <string>

namespace parsleywing {

/// The rule for addresses, as the end of a sentence "must be ...".
inline constexpr const char *AddressRule =
    "a numeric IP:port, as 127.0.0.1:8080 or [::1]:8080";

/// Whether the value is an IP address and a port from 1 to 65535. Host names
/// are rejected: resolving a name can block, and its result can change while
/// the program runs.
bool isNumericAddress(const std::string &Value);

} // namespace parsleywing

#endif
