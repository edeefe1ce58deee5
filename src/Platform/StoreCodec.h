#ifndef PARSLEYWING_PLATFORM_STORECODEC_H
#define PARSLEYWING_PLATFORM_STORECODEC_H

#include "Platform/StoreTypes.h"
#include "Runtime/Result.h"

#include <Poco/JSON/Object.h>
#include <string>

namespace parsleywing::internal {

// JSON encoding of the service's messages (the etcd v3 gateway): keys and
// values in Base64, 64-bit numbers as strings, zero values omitted.

std::string toBase64(const std::string &Bytes);
std::string fromBase64(const std::string &Text);

/// Returns a 64-bit number from a message; zero if the field is omitted.
std::int64_t int64Field(const Poco::JSON::Object &Message,
                        const std::string &Name);

std::string encodeTransaction(const StoreTransaction &Transaction);

StoreEntry decodeEntry(const Poco::JSON::Object &Message);
StoreRange decodeRange(const Poco::JSON::Object &Message);
TransactionOutcome decodeTransactionOutcome(const Poco::JSON::Object &Message);

/// Parses one complete message; `Malformed` if it is not a JSON object.
Result<Poco::JSON::Object::Ptr> parseMessage(const std::string &Text);

std::string stringify(const Poco::JSON::Object &Message);

} // namespace parsleywing::internal

#endif
