// MessagePack encoding of the messages between daemons. A message is an
// aggregate that lists its fields. It is sent as a map, so that a peer of
// another version ignores unknown fields and gives missing ones their defaults:
//
//   struct Probe {
//     HostId Sender;
//     Revision ConfigRevision;
//     MSGPACK_DEFINE_MAP(Sender, ConfigRevision);
//   };
//   std::string Body = packBody(Probe{...});
//   Result<Probe> Read = unpackBody<Probe>(Body);
//
// Ids are packed as their text or number, durations as a number of
// microseconds.

#ifndef MIMOSA_BASE_MESSAGE_CODEC_H
#define MIMOSA_BASE_MESSAGE_CODEC_H

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename Tag> struct pack<mimosa::TextId<Tag>> {
    template <typename Stream>
    packer<Stream> &operator()(packer<Stream> &Out,
                               const mimosa::TextId<Tag> &Id) const {
      return Out.pack(Id.text());
    }
  };
  template <typename Tag> struct convert<mimosa::TextId<Tag>> {
    const msgpack::object &operator()(const msgpack::object &In,
                                      mimosa::TextId<Tag> &Id) const {
      Id = mimosa::TextId<Tag>(In.as<std::string>());
      return In;
    }
  };

  template <typename Tag, typename Number>
  struct pack<mimosa::NumberId<Tag, Number>> {
    template <typename Stream>
    packer<Stream> &operator()(packer<Stream> &Out,
                               mimosa::NumberId<Tag, Number> Id) const {
      return Out.pack(Id.number());
    }
  };
  template <typename Tag, typename Number>
  struct convert<mimosa::NumberId<Tag, Number>> {
    const msgpack::object &operator()(const msgpack::object &In,
                                      mimosa::NumberId<Tag, Number> &Id) const {
      Id = mimosa::NumberId<Tag, Number>(In.as<Number>());
      return In;
    }
  };

  template <> struct pack<mimosa::Duration> {
    template <typename Stream>
    packer<Stream> &operator()(packer<Stream> &Out,
                               mimosa::Duration Time) const {
      return Out.pack(static_cast<int64_t>(Time.count()));
    }
  };
  template <> struct convert<mimosa::Duration> {
    const msgpack::object &operator()(const msgpack::object &In,
                                      mimosa::Duration &Time) const {
      Time = mimosa::Duration(In.as<int64_t>());
      return In;
    }
  };

  } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

namespace mimosa {

/// Encodes \p Message as the body of a frame.
template <typename T> std::string packBody(const T &Message) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Message);
  return std::string(Buffer.data(), Buffer.size());
}

/// Counts the objects of a message without allocating for them.
class ObjectCounter : public msgpack::null_visitor {
public:
  static constexpr size_t MaxDepth = 16;
  bool visit_nil() { return count(); }
  bool visit_boolean(bool) { return count(); }
  bool visit_positive_integer(uint64_t) { return count(); }
  bool visit_negative_integer(int64_t) { return count(); }
  bool visit_float32(float) { return count(); }
  bool visit_float64(double) { return count(); }
  bool visit_str(const char *, uint32_t) { return count(); }
  bool visit_bin(const char *, uint32_t) { return count(); }
  bool visit_ext(const char *, uint32_t) { return count(); }
  // The parser's stack grows with the depth.
  bool start_array(uint32_t) { return count() && ++Depth <= MaxDepth; }
  bool end_array() { return Depth-- > 0; }
  bool start_map(uint32_t) { return count() && ++Depth <= MaxDepth; }
  bool end_map() { return Depth-- > 0; }
  size_t objects() const { return Objects; }

private:
  bool count() {
    ++Objects;
    return true;
  }
  size_t Objects = 0;
  size_t Depth = 0;
};

/// Decoding takes about 24 bytes for each object. The messages of hosts have
/// more bytes for each object than this, as their fields have names.
constexpr size_t MinBytesPerObject = 3;
/// Short messages may have this many objects in any case.
constexpr size_t MinObjectLimit = 4096;

/// Whether decoding \p Body takes little more memory than \p Body itself.
inline bool hasFewObjects(std::string_view Body) {
  ObjectCounter Counter;
  size_t Offset = 0;
  return msgpack::parse(Body.data(), Body.size(), Offset, Counter) &&
         Counter.objects() <= MinObjectLimit + Body.size() / MinBytesPerObject;
}

/// Decodes the message in \p Body; fails with BadFrame if that is not possible.
template <typename T> Result<T> unpackBody(std::string_view Body) {
  // The limits on depth and element counts keep a small hostile frame from
  // making the decoder allocate much more than the frame's size.
  const msgpack::unpack_limit Limit(1 << 20, 1 << 20, 1 << 22, 1 << 22, 1 << 22,
                                    16);
  try {
    if (!hasFewObjects(Body))
      return Error{ResultCode::BadFrame,
                   "the body of the frame is incomplete or has too many "
                   "elements"};
    msgpack::object_handle Handle =
        msgpack::unpack(Body.data(), Body.size(), nullptr, nullptr, Limit);
    T Message;
    Handle.get().convert(Message);
    return Message;
  } catch (const std::exception &E) {
    return Error{ResultCode::BadFrame,
                 std::string("the body of the frame cannot be decoded: ") +
                     E.what()};
  }
}

} // namespace mimosa

#endif // MIMOSA_BASE_MESSAGE_CODEC_H
