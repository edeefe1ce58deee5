#ifndef PARSLEYWING_PROGRAM_EXITCODE_H
#define PARSLEYWING_PROGRAM_EXITCODE_H

#include "Runtime/EnumNames.h"
#include "Runtime/Result.h"

namespace parsleywing {

/// Exit codes of the process. The numbers are part of the interface
/// (docs/OPERATING.md) and never change their meaning.
enum class ExitCode {
  Success = 0,
  Failed = 1,        ///< A failure that no other code describes.
  WrongUsage = 2,    ///< The command line is wrong.
  InvalidInput = 3,  ///< A settings or declarations file is wrong.
  MissingFile = 4,   ///< A file cannot be opened.
  CannotStart = 5,   ///< An address cannot be listened on.
  Unreachable = 6,   ///< The router or the platform does not answer.
  Conflict = 7,      ///< Another operator's file was applied first.
  TimedOut = 8,      ///< Timed out, or the outcome is unknown.
  Unfinished = 9,    ///< The router ended with unanswered requests.
  NotAvailable = 10, ///< This build does not have the function.
  StaleOrder = 11,   ///< The engine has received a newer order than this one.
  LeaseLost = 12,    ///< The lease was lost before the order was sent.
};

inline constexpr EnumNames<ExitCode, 13> ExitCodeNames{{
    {ExitCode::Success, "success"},
    {ExitCode::Failed, "failed"},
    {ExitCode::WrongUsage, "wrong-usage"},
    {ExitCode::InvalidInput, "invalid-input"},
    {ExitCode::MissingFile, "missing-file"},
    {ExitCode::CannotStart, "cannot-start"},
    {ExitCode::Unreachable, "unreachable"},
    {ExitCode::Conflict, "conflict"},
    {ExitCode::TimedOut, "timed-out"},
    {ExitCode::Unfinished, "unfinished"},
    {ExitCode::NotAvailable, "not-available"},
    {ExitCode::StaleOrder, "stale-order"},
    {ExitCode::LeaseLost, "lease-lost"},
}};

/// Returns the exit code for an error that ends a command.
constexpr ExitCode exitCodeOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidInput:
    return ExitCode::InvalidInput;
  case ErrorCode::NotFound:
    return ExitCode::MissingFile;
  case ErrorCode::Conflict:
    return ExitCode::Conflict;
  case ErrorCode::Unreachable:
    return ExitCode::Unreachable;
  case ErrorCode::TimedOut:
  case ErrorCode::Interrupted:
    return ExitCode::TimedOut;
  default:
    return ExitCode::Failed;
  }
}

} // namespace parsleywing

#endif
