#include "Peer/PeerCounters.h"

#include <Poco/JSON/Array.h>

namespace parsleywing {

Poco::JSON::Object::Ptr PeerCounters::dump() const {
  Poco::JSON::Object::Ptr Drops = new Poco::JSON::Object;
  for (const auto &[Reason, Name] : PeerDropNames)
    Drops->set(std::string(Name), this->dropped(Reason));
  Poco::JSON::Array::Ptr Parts = new Poco::JSON::Array;
  for (const Counter &Bytes : this->PartBytesOut)
    Parts->add(Bytes.load());

  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("datagrams_out", this->DatagramsOut.load());
  Dump->set("datagrams_in", this->DatagramsIn.load());
  Dump->set("datagram_bytes_out", this->DatagramBytesOut.load());
  Dump->set("datagram_bytes_in", this->DatagramBytesIn.load());
  Dump->set("urgent_out", this->UrgentOut.load());
  Dump->set("bulk_out", this->BulkOut.load());
  Dump->set("bulk_in", this->BulkIn.load());
  Dump->set("bulk_bytes_out", this->BulkBytesOut.load());
  Dump->set("bulk_bytes_in", this->BulkBytesIn.load());
  Dump->set("unreadable_parts", this->UnreadableParts.load());
  Dump->set("part_bytes_out", Parts);
  Dump->set("dropped", Drops);
  return Dump;
}

} // namespace parsleywing
