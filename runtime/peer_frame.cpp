#include "runtime/peer.h"

#include "base/message_codec.h"

#include <boost/endian/conversion.hpp>

namespace mimosa {

namespace {
constexpr uint32_t ProtocolVersion = 1;
constexpr size_t FrameFields = 4;
/// Keeps the decoder from allocating for lists that are announced in place of
/// a number.
const msgpack::unpack_limit NumbersOnly(0, 0, 0, 0, 0, 1);
} // namespace

std::string encodeFrame(const PeerFrame &Frame) {
  msgpack::sbuffer Header;
  msgpack::packer<msgpack::sbuffer> Packer(Header);
  Packer.pack_array(FrameFields);
  Packer.pack(ProtocolVersion);
  Packer.pack(static_cast<uint32_t>(Frame.Type));
  Packer.pack(Frame.RequestId);
  auto Length = static_cast<uint32_t>(Header.size() + Frame.Body.size());
  std::string Out;
  Out.reserve(sizeof(Length) + Length);
  boost::endian::native_to_big_inplace(Length);
  Out.append(reinterpret_cast<const char *>(&Length), sizeof(Length));
  Out.append(Header.data(), Header.size());
  Out.append(Frame.Body);
  return Out;
}

Result<PeerFrame> decodeFrame(std::string_view Bytes) {
  // Only the three numbers are decoded; the body is copied as it is.
  try {
    size_t Offset = 0;
    if (Bytes.empty() || static_cast<uint8_t>(Bytes[0]) != 0x90 + FrameFields)
      return Error{ResultCode::BadFrame,
                   "the frame is not a MessagePack array of four elements"};
    Offset = 1;
    auto NextNumber = [&] {
      return msgpack::unpack(Bytes.data(), Bytes.size(), Offset, nullptr,
                             nullptr, NumbersOnly)
          .get()
          .as<uint64_t>();
    };
    NextNumber(); // The protocol version is not checked.
    PeerFrame Out;
    uint64_t Type = NextNumber();
    Out.Type = static_cast<MessageType>(
        Type >= MessageTypeLimit ? 0 : static_cast<uint32_t>(Type));
    Out.RequestId = NextNumber();
    Out.Body = std::string(Bytes.substr(Offset));
    return Out;
  } catch (const std::exception &E) {
    return Error{ResultCode::BadFrame,
                 std::string("the frame header cannot be decoded: ") +
                     E.what()};
  }
}

} // namespace mimosa
