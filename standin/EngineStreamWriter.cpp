#include "standin/EngineStreamWriter.h"

#include "standin/HandlerTools.h"

#include <ostream>

namespace parsleywing::standin {

namespace {

constexpr std::size_t OversizedBytes = 4 << 20;

void appendEvent(const std::string &Data, std::string &Batch) {
  // The type is the first field: {"type":"...".
  constexpr std::size_t TypeStart = 9;
  const std::size_t TypeEnd = Data.find('"', TypeStart);
  Batch += "event: ";
  Batch.append(Data, TypeStart, TypeEnd - TypeStart);
  Batch += "\ndata: ";
  Batch += Data;
  Batch += "\n\n";
}

/// Returns the event with the ID of another response.
std::string withForeignId(std::string Data) {
  const std::size_t Position = Data.find("msg_resp_");
  if (Position != std::string::npos)
    Data.insert(Position + 9, "9");
  return Data;
}

} // namespace

void EngineStreamWriter::write(Poco::Net::HTTPServerRequest &Request,
                               Poco::Net::HTTPServerResponse &HttpResponse,
                               std::size_t FirstEvent) {
  HttpResponse.setContentType("text/event-stream");
  HttpResponse.setChunkedTransferEncoding(!this->Faults.Unframed);
  if (this->Faults.Unframed)
    HttpResponse.setKeepAlive(false);
  std::ostream &Out = HttpResponse.send();
  std::size_t Next = FirstEvent;
  while (true) {
    const auto Events = this->Engine.waitForEvents(*this->Response, Next);
    if (Events.empty())
      break;
    if (this->isSilent()) {
      this->Engine.waitWhile([&] { return isPeerConnected(Request); });
      shutDownConnection(Request, HttpResponse);
      return;
    }
    if (!this->writeEvents(Events, Out)) {
      shutDownConnection(Request, HttpResponse);
      break;
    }
    Next += Events.size();
  }
  if (!this->Response->Background)
    this->Engine.cancel(this->Response);
}

bool EngineStreamWriter::isSilent() {
  return this->isReached(this->Faults.SilentAfter) ||
         this->Engine.isSilenced(this->Cookie);
}

bool EngineStreamWriter::isReached(std::uint64_t TokenCount) const {
  return TokenCount != 0 && this->Tokens >= TokenCount;
}

/// Writes all available events with one flush. They are processed one by one,
/// since faults may start at any token count.
bool EngineStreamWriter::writeEvents(const std::vector<std::string> &Events,
                                     std::ostream &Out) {
  std::string Batch;
  bool KeepOpen = true;
  for (const std::string &Data : Events) {
    const std::size_t Start = Batch.size();
    KeepOpen = this->writeEvent(Data, Batch);
    this->pauseAtEvent(Data, Start, Batch, Out);
    if (!KeepOpen || this->isReached(this->Faults.SilentAfter))
      break;
  }
  this->Engine.waitWhilePaused();
  Out << Batch;
  Out.flush();
  return KeepOpen && Out.good();
}

/// Pauses before the event that starts at `Start` in the batch, or in its
/// middle, if it is the one after the pause's tokens.
void EngineStreamWriter::pauseAtEvent(const std::string &Data,
                                      std::size_t Start, std::string &Batch,
                                      std::ostream &Out) {
  const bool IsToken = Data.find("output_text.delta") != std::string::npos;
  const bool PausedBeforeHead =
      this->Pause.AfterTokens == 0 && !this->Faults.PauseInside;
  if (!IsToken || PausedBeforeHead || this->Pause.Length <= Duration::zero() ||
      this->Tokens != this->Pause.AfterTokens + 1)
    return;
  const std::size_t Sent =
      this->Faults.PauseInside ? Start + (Batch.size() - Start) / 2 : Start;
  Out << Batch.substr(0, Sent);
  Out.flush();
  Batch.erase(0, Sent);
  this->Engine.waitFor(this->Pause.Length);
}

bool EngineStreamWriter::writeEvent(const std::string &Data,
                                    std::string &Batch) {
  const bool IsToken = Data.find("output_text.delta") != std::string::npos;
  if (IsToken && this->isReached(this->Faults.CutAfter))
    return false;
  if (IsToken && this->isReached(this->Faults.TruncateAfter)) {
    std::string Event;
    appendEvent(Data, Event);
    Batch.append(Event, 0, Event.size() / 2);
    return false;
  }
  if (IsToken && this->isReached(this->Faults.OversizedAfter))
    Batch += "data: " + std::string(OversizedBytes, 'x');
  if (IsToken && this->isReached(this->Faults.MalformedAfter))
    Batch += "data: {\"type\":\"response.output_text.delta\",\"delta\n\n";
  const bool IsSkipped = IsToken && this->Faults.SkipAfter != 0 &&
                         this->Tokens == this->Faults.SkipAfter;
  if (IsToken)
    ++this->Tokens;
  if (IsSkipped)
    return true;
  const bool IsForeign = IsToken && this->Faults.CrossedAfter != 0 &&
                         this->Tokens == this->Faults.CrossedAfter + 1;
  appendEvent(IsForeign ? withForeignId(Data) : Data, Batch);
  if (this->Faults.Doubled)
    appendEvent(Data, Batch);
  return true;
}

} // namespace parsleywing::standin
