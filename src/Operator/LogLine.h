#ifndef PARSLEYWING_OPERATOR_LOGLINE_H
#define PARSLEYWING_OPERATOR_LOGLINE_H

#include "Runtime/Clock.h"

#include <string>
#include <string_view>

namespace parsleywing {

// Parsing of a router's log lines, which consist of a time and of fields of the
// form NAME=VALUE, separated by spaces.

/// Whether the line contains this field, with its name and value.
bool hasLogField(std::string_view Text, std::string_view Field);

/// Returns the first field that starts with `Prefix`; empty if there is none.
std::string logField(std::string_view Text, std::string_view Prefix);

/// Returns the value of the field NAME=VALUE; empty if there is none.
std::string logValue(std::string_view Text, std::string_view Name);

/// Returns the time of a log line, as text; empty if there is none. A log
/// collector may have put a prefix of its own before it.
std::string_view logTimeOf(std::string_view Text);

/// Returns the time of a log line shifted by a duration, in the same format.
std::string shiftedLogTime(const std::string &Time, Duration By);

} // namespace parsleywing

#endif
