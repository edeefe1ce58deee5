#ifndef PARSLEYWING_RUNTIME_LOG_H
#define PARSLEYWING_RUNTIME_LOG_H

#include "Runtime/EnumNames.h"
#include "Runtime/Result.h"

#include <functional>
#include <string>
#include <string_view>

namespace parsleywing {

/// The parts of the program that write log lines. Each line starts with the
/// name of its part.
enum class LogPart {
  Program,
  Control,
  Caller,
  Backend,
  Peer,
  Platform,
  Operator,
};

inline constexpr EnumNames<LogPart, 7> LogPartNames{{
    {LogPart::Program, "program"},
    {LogPart::Control, "control"},
    {LogPart::Caller, "caller"},
    {LogPart::Backend, "backend"},
    {LogPart::Peer, "peer"},
    {LogPart::Platform, "platform"},
    {LogPart::Operator, "operator"},
}};

/// How much a line matters, in rising order; lines below the level that is set
/// are left out.
enum class LogLevel { Debug, Info, Warn, Error };

inline constexpr EnumNames<LogLevel, 4> LogLevelNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warn, "warn"},
    {LogLevel::Error, "error"},
}};

/// Sends log lines at or above `Level` to the file `Target`, or to standard
/// output or error where `Target` is "stdout" or "stderr". Called once, before
/// the first line. Fails where the file cannot be opened.
Result<void> startLogging(LogLevel Level, const std::string &Target);

/// Writes what is still buffered. For the end of a process.
void stopLogging();

/// Writes one line: the time, the level, the part and a short sentence. Safe
/// from every thread. Before `startLogging` lines are dropped. Equal lines that
/// repeat within seconds are held back and counted (`RepeatFilter`); of others
/// below a warning some hundreds a second are written (`LineBudget`). Never
/// waits for whoever reads standard output.
void log(LogPart Part, LogLevel Level, std::string_view Sentence);

/// The same at the level Info for a line that names a request, and so has no
/// equal: it is composed only where it will be written, and not compared with
/// others. Under a flood most are not, and composing and comparing one takes as
/// long as all else that a refusal costs.
void logLazily(LogPart Part, const std::function<std::string()> &Compose);

} // namespace parsleywing

#endif
