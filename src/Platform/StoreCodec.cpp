#include "Platform/StoreCodec.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/StreamCopier.h>
#include <sstream>

namespace parsleywing::internal {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string toBase64(const std::string &Bytes) {
  std::ostringstream Out;
  Poco::Base64Encoder Encoder(Out);
  Encoder.rdbuf()->setLineLength(0);
  Encoder.write(Bytes.data(), static_cast<std::streamsize>(Bytes.size()));
  Encoder.close();
  return Out.str();
}

std::string fromBase64(const std::string &Text) {
  std::istringstream In(Text);
  Poco::Base64Decoder Decoder(In);
  std::string Bytes;
  Poco::StreamCopier::copyToString(Decoder, Bytes);
  return Bytes;
}

std::int64_t int64Field(const Object &Message, const std::string &Name) {
  return Message.has(Name) ? Message.get(Name).convert<Poco::Int64>() : 0;
}

namespace {

std::string base64Field(const Object &Message, const std::string &Name) {
  return Message.has(Name) ? fromBase64(Message.getValue<std::string>(Name))
                           : std::string();
}

Object::Ptr encodeCompare(const StoreCompare &Compare) {
  Object::Ptr Message = new Object;
  Message->set("key", toBase64(Compare.Key));
  Message->set("result", "EQUAL");
  switch (Compare.Target) {
  case CompareTarget::CreateRevision:
    Message->set("target", "CREATE");
    Message->set("create_revision", std::to_string(Compare.ExpectedRevision));
    break;
  case CompareTarget::ModRevision:
    Message->set("target", "MOD");
    Message->set("mod_revision", std::to_string(Compare.ExpectedRevision));
    break;
  case CompareTarget::Value:
    Message->set("target", "VALUE");
    Message->set("value", toBase64(Compare.ExpectedValue));
    break;
  }
  return Message;
}

Object::Ptr encodeOperation(const StoreOperation &Operation) {
  Object::Ptr Inner = new Object;
  Inner->set("key", toBase64(Operation.Key));
  Object::Ptr Message = new Object;
  switch (Operation.Kind) {
  case StoreOperationKind::Put:
    Inner->set("value", toBase64(Operation.Value));
    if (Operation.Lease != 0)
      Inner->set("lease", std::to_string(Operation.Lease));
    Message->set("request_put", Inner);
    break;
  case StoreOperationKind::Delete:
    Message->set("request_delete_range", Inner);
    break;
  case StoreOperationKind::Read:
    Message->set("request_range", Inner);
    break;
  }
  return Message;
}

Array::Ptr encodeOperations(const std::vector<StoreOperation> &Operations) {
  Array::Ptr List = new Array;
  for (const StoreOperation &Operation : Operations)
    List->add(encodeOperation(Operation));
  return List;
}

Revision revisionOf(const Object &Message) {
  const Object::Ptr Header = Message.getObject("header");
  return Header ? int64Field(*Header, "revision") : 0;
}

} // namespace

std::string encodeTransaction(const StoreTransaction &Transaction) {
  Array::Ptr Conditions = new Array;
  for (const StoreCompare &Compare : Transaction.Conditions)
    Conditions->add(encodeCompare(Compare));
  Object Message;
  Message.set("compare", Conditions);
  Message.set("success", encodeOperations(Transaction.Then));
  Message.set("failure", encodeOperations(Transaction.Else));
  return stringify(Message);
}

StoreEntry decodeEntry(const Object &Message) {
  StoreEntry Entry;
  Entry.Key = base64Field(Message, "key");
  Entry.Value = base64Field(Message, "value");
  Entry.CreateRevision = int64Field(Message, "create_revision");
  Entry.ModRevision = int64Field(Message, "mod_revision");
  Entry.Version = int64Field(Message, "version");
  Entry.Lease = int64Field(Message, "lease");
  return Entry;
}

StoreRange decodeRange(const Object &Message) {
  StoreRange Range;
  Range.ReadRevision = revisionOf(Message);
  const Array::Ptr Entries = Message.getArray("kvs");
  if (!Entries)
    return Range;
  for (unsigned Index = 0; Index < Entries->size(); ++Index)
    Range.Entries.push_back(decodeEntry(*Entries->getObject(Index)));
  return Range;
}

TransactionOutcome decodeTransactionOutcome(const Object &Message) {
  TransactionOutcome Outcome;
  Outcome.Succeeded = Message.optValue("succeeded", false);
  Outcome.CommitRevision = revisionOf(Message);
  const Array::Ptr Responses = Message.getArray("responses");
  if (!Responses)
    return Outcome;
  for (unsigned Index = 0; Index < Responses->size(); ++Index)
    if (const Object::Ptr Read =
            Responses->getObject(Index)->getObject("response_range"))
      Outcome.Reads.push_back(decodeRange(*Read));
  return Outcome;
}

Result<Object::Ptr> parseMessage(const std::string &Text) {
  try {
    Poco::JSON::Parser Parser;
    return Parser.parse(Text).extract<Object::Ptr>();
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Malformed,
                   "the store's response is not a JSON object: " +
                       Problem.displayText());
  }
}

std::string stringify(const Object &Message) {
  std::ostringstream Out;
  Message.stringify(Out);
  return Out.str();
}

} // namespace parsleywing::internal
