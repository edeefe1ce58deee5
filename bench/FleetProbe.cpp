#include "FleetProbe.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace parsleywing::bench {

namespace {

/// Returns the fields of /proc/PID/stat after the program's name, which may
/// contain spaces. Empty if the process does not exist.
std::istringstream statFields(int ProcessId) {
  std::ifstream File("/proc/" + std::to_string(ProcessId) + "/stat");
  std::string Line;
  std::getline(File, Line);
  const std::size_t NameEnd = Line.rfind(')');
  return std::istringstream(
      NameEnd == std::string::npos ? "" : Line.substr(NameEnd + 1));
}

} // namespace

ProcessUse useOf(int ProcessId) {
  // The state is the first of these fields; user and system time are the 12th
  // and 13th, resident pages the 22nd.
  constexpr int UserTime = 12;
  constexpr int SystemTime = 13;
  constexpr int ResidentPages = 22;
  constexpr double Mebibyte = 1 << 20;
  std::istringstream Fields = statFields(ProcessId);
  ProcessUse Use;
  std::string Field;
  for (int Number = 1; Fields >> Field; ++Number) {
    if (Number == UserTime || Number == SystemTime)
      Use.ProcessorSeconds +=
          std::stod(Field) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    if (Number == ResidentPages)
      Use.ResidentMebibytes = std::stod(Field) *
                              static_cast<double>(::sysconf(_SC_PAGESIZE)) /
                              Mebibyte;
  }
  return Use;
}

bool hasExited(int ProcessId) {
  std::string State;
  return !(statFields(ProcessId) >> State) || State == "Z";
}

bool isListening(const std::string &Address) {
  try {
    const Poco::Net::StreamSocket Socket{Poco::Net::SocketAddress(Address)};
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

std::optional<std::string> fetch(const std::string &Address,
                                 const std::string &Path) {
  try {
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Session.setTimeout(Poco::Timespan(1, 0));
    Poco::Net::HTTPRequest Request("GET", Path, "HTTP/1.1");
    Session.sendRequest(Request);
    Poco::Net::HTTPResponse Response;
    std::string Body;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Body);
    if (Response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK)
      return Body;
  } catch (const Poco::Exception &) {
    return std::nullopt; // The server is unreachable or did not respond.
  }
  return std::nullopt;
}

double jsonNumber(const std::string &Json, const std::string &Name) {
  const std::string Field = "\"" + Name + "\":";
  const std::size_t Position = Json.find(Field);
  return Position == std::string::npos
             ? 0
             : std::strtod(Json.c_str() + Position + Field.size(), nullptr);
}

std::optional<double> metricSum(const std::string &Text,
                                const std::string &Name) {
  std::optional<double> Sum;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with(Name) || Line.size() == Name.size())
      continue;
    const char Next = Line[Name.size()];
    const std::size_t Space = Line.rfind(' ');
    if ((Next != ' ' && Next != '{') || Space == std::string::npos)
      continue;
    Sum = Sum.value_or(0) + std::strtod(Line.c_str() + Space, nullptr);
  }
  return Sum;
}

} // namespace parsleywing::bench
