#include "runtime/peer.h"

#include "base/message_codec.h"

#include <boost/endian/conversion.hpp>

namespace mimosa {

namespace {
constexpr uint32_t ProtocolVersion = 1;
constexpr size_t FrameFields = 4;
} // namespace

std::string encodeFrame(const PeerFrame &Frame) {
  msgpack::sbuffer Head;
  msgpack::packer<msgpack::sbuffer> Packer(Head);
  Packer.pack_array(FrameFields);
  Packer.pack(ProtocolVersion);
  Packer.pack(static_cast<uint32_t>(Frame.Type));
  Packer.pack(Frame.RequestId);
  auto Length = static_cast<uint32_t>(Head.size() + Frame.Body.size());
  std::string Out;
  Out.reserve(sizeof(Length) + Length);
  boost::endian::native_to_big_inplace(Length);
  Out.append(reinterpret_cast<const char *>(&Length), sizeof(Length));
  Out.append(Head.data(), Head.size());
  Out.append(Frame.Body);
  return Out;
}

Result<PeerFrame> decodeFrame(std::string_view Bytes) {
  // Reads the three numbers one by one, so that the body is copied and not
  // decoded here.
  try {
    size_t Offset = 0;
    if (Bytes.empty() || static_cast<uint8_t>(Bytes[0]) != 0x90 + FrameFields)
      return Error{ResultCode::BadFrame, "the frame is not an array of four"};
    Offset = 1;
    auto Number = [&] {
      return msgpack::unpack(Bytes.data(), Bytes.size(), Offset)
          .get()
          .as<uint64_t>();
    };
    Number();
    PeerFrame Out;
    uint64_t Type = Number();
    Out.Type = static_cast<MessageType>(
        Type >= MessageTypeLimit ? 0 : static_cast<uint32_t>(Type));
    Out.RequestId = Number();
    Out.Body = std::string(Bytes.substr(Offset));
    return Out;
  } catch (const std::exception &E) {
    return Error{ResultCode::BadFrame,
                 std::string("the frame's head cannot be decoded: ") +
                     E.what()};
  }
}

} // namespace mimosa
