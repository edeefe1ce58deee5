#ifndef PARSLEYWING_OPERATOR_VALUECHECKS_H
#define PARSLEYWING_OPERATOR_VALUECHECKS_H

#include "Runtime/NumericAddress.h"

#include <cstddef>
#include <string>

namespace parsleywing {

/// The maximum length of the name of an account, service, server, router or
/// operator.
inline constexpr std::size_t MaxNameLength = 100;

/// The rule for names, as the end of a sentence "must be ...".
inline constexpr const char *NameRule =
    "1 to 100 letters, digits, '.', '_' or '-', the first a letter or digit";

bool isName(const std::string &Value);

/// Whether the value is a SHA-256 digest in hexadecimal, in upper or lower
/// case.
bool isSha256Hex(const std::string &Value);

} // namespace parsleywing

#endif
