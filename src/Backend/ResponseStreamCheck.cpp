#include "Backend/ResponseStreamCheck.h"

#include <Poco/Exception.h>

namespace parsleywing {

namespace {

constexpr const char *CreatedEvent = "response.created";
constexpr const char *ItemAddedEvent = "response.output_item.added";
constexpr const char *DeltaEvent = "response.output_text.delta";
constexpr const char *TextDoneEvent = "response.output_text.done";
constexpr const char *CompletedEvent = "response.completed";
constexpr const char *IncompleteEvent = "response.incomplete";
constexpr const char *FailedEvent = "response.failed";
constexpr const char *ErrorEvent = "error";
constexpr const char *MessageItem = "message";

std::string stringField(const Poco::JSON::Object &Object, const char *Name) {
  return Object.optValue<std::string>(Name, "");
}

} // namespace

std::uint64_t ResponseStreamCheck::tokens() const {
  return this->UsageStated ? this->StatedTokens : this->Point.Tokens;
}

StreamVerdict ResponseStreamCheck::reject(BackendCounters::Count &Counter) {
  ++Counter;
  return this->WrongIdentity ? StreamVerdict::Foreign : StreamVerdict::Broken;
}

StreamVerdict ResponseStreamCheck::processEvent(const ServerSentEvent &Event) {
  try {
    return this->checkEvent(Event);
  } catch (const Poco::Exception &) {
    return this->reject(this->Counters.MalformedEvents);
  } catch (const std::exception &) {
    return this->reject(this->Counters.MalformedEvents);
  }
}

StreamVerdict ResponseStreamCheck::checkEvent(const ServerSentEvent &Event) {
  this->Parser.reset();
  const auto Data =
      this->Parser.parse(Event.Data).extract<Poco::JSON::Object::Ptr>();
  const std::string Type = stringField(*Data, "type");
  if (Type.empty() || (!Event.Name.empty() && Event.Name != Type))
    return this->reject(this->Counters.MalformedEvents);
  if (Type == ErrorEvent)
    return StreamVerdict::Abandoned;
  std::uint64_t Number = 0;
  const StreamVerdict SequenceVerdict = this->checkSequence(*Data, Number);
  if (SequenceVerdict != StreamVerdict::Forward)
    return SequenceVerdict;
  const StreamVerdict Verdict = this->checkByType(Type, *Data, Number);
  if (Verdict == StreamVerdict::Skip || Verdict == StreamVerdict::Forward ||
      Verdict == StreamVerdict::Finished)
    this->Point.Sequence = Number;
  return Verdict;
}

/// Checks whether the event belongs to this response before checking its
/// sequence number, since the number of a foreign event may fit by chance.
StreamVerdict ResponseStreamCheck::checkSequence(const Poco::JSON::Object &Data,
                                                 std::uint64_t &Number) {
  Number = Data.getValue<Poco::UInt64>("sequence_number");
  if (!this->Started)
    return StreamVerdict::Forward;
  if (!this->belongsToItem(Data, Number))
    return this->rejectForeignEvent();
  if (Number <= this->Point.Sequence) {
    ++this->Counters.RepeatedEvents;
    return StreamVerdict::Skip;
  }
  if (Number != this->Point.Sequence + 1)
    return this->reject(this->Counters.MissingEvents);
  return StreamVerdict::Forward;
}

StreamVerdict ResponseStreamCheck::checkByType(const std::string &Type,
                                               const Poco::JSON::Object &Data,
                                               std::uint64_t Number) {
  if (!this->Started)
    return Type == CreatedEvent ? this->onCreated(Data)
                                : this->reject(this->Counters.MissingEvents);
  if (Type == DeltaEvent)
    return this->onDelta(Data);
  if (Type == ItemAddedEvent)
    return this->onItemAdded(Data, Number);
  if (Type == TextDoneEvent)
    return this->onTextDone(Data);
  if (Type == CompletedEvent || Type == IncompleteEvent)
    return this->onResponseEnd(Data, true);
  if (Type == FailedEvent)
    return this->onResponseEnd(Data, false);
  return StreamVerdict::Skip;
}

StreamVerdict ResponseStreamCheck::onCreated(const Poco::JSON::Object &Data) {
  const auto Response = Data.getObject("response");
  if (!Response || stringField(*Response, "id").empty())
    return this->reject(this->Counters.MalformedEvents);
  if (!this->belongsToResponse(*Response))
    return this->reject(this->Counters.WrongIdentities);
  this->Point.ResponseId = stringField(*Response, "id");
  this->Started = true;
  return StreamVerdict::Skip;
}

StreamVerdict ResponseStreamCheck::onItemAdded(const Poco::JSON::Object &Data,
                                               std::uint64_t Number) {
  const auto Item = Data.getObject("item");
  if (!Item || stringField(*Item, "type") != MessageItem)
    return StreamVerdict::Skip;
  this->BeforeItem = this->Point;
  this->ItemSequence = Number;
  this->Point.ItemId = stringField(*Item, "id");
  this->Point.ItemTextOffset = 0;
  return StreamVerdict::Skip;
}

/// The event that added the item may itself be foreign, since it does not name
/// the response. If no text of the item has been forwarded yet, the stream is
/// resumed before that event.
StreamVerdict ResponseStreamCheck::rejectForeignEvent() {
  if (this->ItemSequence != 0 && this->Point.ItemTextOffset == 0)
    this->Point = this->BeforeItem;
  return this->reject(this->Counters.ForeignEvents);
}

StreamVerdict ResponseStreamCheck::onDelta(const Poco::JSON::Object &Data) {
  if (!Data.has("item_id"))
    return this->reject(this->Counters.MalformedEvents);
  this->Text = Data.getValue<std::string>("delta");
  this->Point.TextOffset += this->Text.size();
  this->Point.ItemTextOffset += this->Text.size();
  ++this->Point.Tokens;
  return StreamVerdict::Forward;
}

/// The event repeats the complete text of the item. If its length differs from
/// the forwarded text, some text was lost or added in transit although the
/// sequence numbers had no gap.
StreamVerdict ResponseStreamCheck::onTextDone(const Poco::JSON::Object &Data) {
  if (!Data.has("text"))
    return StreamVerdict::Skip;
  if (Data.getValue<std::string>("text").size() != this->Point.ItemTextOffset)
    return this->reject(this->Counters.TruncatedStreams);
  return StreamVerdict::Skip;
}

StreamVerdict ResponseStreamCheck::onResponseEnd(const Poco::JSON::Object &Data,
                                                 bool Complete) {
  const auto Response = Data.getObject("response");
  if (!Response)
    return this->reject(this->Counters.MalformedEvents);
  if (!this->belongsToResponse(*Response))
    return this->reject(this->Counters.WrongIdentities);
  const auto Usage = Response->getObject("usage");
  this->UsageStated = Usage && Usage->has("output_tokens");
  if (this->UsageStated)
    this->StatedTokens = Usage->getValue<Poco::UInt64>("output_tokens");
  if (!Complete)
    return StreamVerdict::Abandoned;
  if (!this->UsageStated)
    ++this->Counters.MissingUsages;
  return StreamVerdict::Finished;
}

bool ResponseStreamCheck::belongsToResponse(
    const Poco::JSON::Object &Response) {
  const auto Metadata = Response.getObject("metadata");
  this->WrongIdentity =
      !Metadata || stringField(*Metadata, "identity") != this->Identity;
  if (this->WrongIdentity)
    return false;
  return !this->Started ||
         stringField(Response, "id") == this->Point.ResponseId;
}

/// Text before its item was added is foreign too. A second event with the
/// sequence number of the one that added the item, but with another item, shows
/// that one of the two is foreign.
bool ResponseStreamCheck::belongsToItem(const Poco::JSON::Object &Data,
                                        std::uint64_t Number) const {
  if (Data.has("item_id"))
    return stringField(Data, "item_id") == this->Point.ItemId;
  const auto Item = Data.getObject("item");
  if (this->ItemSequence == 0 || Number != this->ItemSequence || !Item)
    return true;
  return stringField(*Item, "id") == this->Point.ItemId;
}

} // namespace parsleywing
