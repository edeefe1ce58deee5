#ifndef PARSLEYWING_OPERATOR_VALUECHECKS_H
#define PARSLEYWING_OPERATOR_VALUECHECKS_H

#include <cstddef>
#include <string>

namespace parsleywing {

/// The longest name of an account, service, server, router or operator.
inline constexpr std::size_t MaxNameLength = 100;

/// What a name may be, as the end of a sentence "must be ...".
inline constexpr const char *NameRule =
    "1 to 100 letters, digits, '.', '_' or '-', the first a letter or digit";

/// What an address may be, as the end of a sentence "must be ...".
inline constexpr const char *AddressRule =
    "a numeric IP:port, as 127.0.0.1:8080 or [::1]:8080";

bool isName(const std::string &Value);

/// Whether the value is an IP number and a port from 1 to 65535. Host names
/// are refused: resolving one can block and can change under the program.
bool isNumericAddress(const std::string &Value);

/// Whether the value is a SHA-256 digest in hexadecimal, of either case.
bool isSha256Hex(const std::string &Value);

} // namespace parsleywing

#endif
