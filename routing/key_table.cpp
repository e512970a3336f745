#include "routing/key_table.h"

#include <cstring>
#include <nettle/hmac.h>
#include <nettle/memops.h>
#include <random>

namespace mimosa {

namespace {

constexpr char HexDigits[] = "0123456789abcdef";

uint64_t bucketOf(const KeyDigest &Digest) {
  uint64_t Out = 0;
  std::memcpy(&Out, Digest.data(), sizeof(Out));
  return Out;
}

bool sameDigest(const KeyDigest &A, const KeyDigest &B) {
  return memeql_sec(A.data(), B.data(), A.size()) != 0;
}

} // namespace

KeyDigest digestOf(const KeySalt &Salt, std::string_view Key) {
  hmac_sha256_ctx Context;
  hmac_sha256_set_key(&Context, Salt.size(), Salt.data());
  hmac_sha256_update(&Context, Key.size(),
                     reinterpret_cast<const uint8_t *>(Key.data()));
  KeyDigest Out;
  hmac_sha256_digest(&Context, Out.size(), Out.data());
  return Out;
}

std::string hexOf(const std::array<uint8_t, 32> &Bytes) {
  std::string Out;
  Out.reserve(2 * Bytes.size());
  for (uint8_t Byte : Bytes) {
    Out.push_back(HexDigits[Byte >> 4]);
    Out.push_back(HexDigits[Byte & 15]);
  }
  return Out;
}

std::optional<std::array<uint8_t, 32>> parseHex(std::string_view Text) {
  std::array<uint8_t, 32> Out{};
  if (Text.size() != 2 * Out.size())
    return std::nullopt;
  for (size_t I = 0; I < Text.size(); ++I) {
    const void *Found = std::memchr(HexDigits, Text[I], sizeof(HexDigits) - 1);
    if (!Found)
      return std::nullopt;
    auto Value = static_cast<uint8_t>(static_cast<const char *>(Found) -
                                      static_cast<const char *>(HexDigits));
    Out[I / 2] = static_cast<uint8_t>(Out[I / 2] << 4 | Value);
  }
  return Out;
}

KeySalt KeyTable::randomSalt() {
  std::random_device Source;
  KeySalt Out;
  for (uint8_t &Byte : Out)
    Byte = static_cast<uint8_t>(Source());
  return Out;
}

bool KeyTable::add(const KeyDigest &Digest, size_t Team) {
  auto [Begin, End] = Entries.equal_range(bucketOf(Digest));
  for (auto It = Begin; It != End; ++It)
    if (sameDigest(It->second.Digest, Digest))
      return false;
  Entries.emplace(bucketOf(Digest), Entry{Digest, Team});
  return true;
}

std::optional<size_t> KeyTable::find(std::string_view Key) const {
  if (Key.empty() || Key.size() > MaxKeyBytes)
    return std::nullopt;
  KeyDigest Digest = digestOf(Salt, Key);
  auto [Begin, End] = Entries.equal_range(bucketOf(Digest));
  for (auto It = Begin; It != End; ++It)
    if (sameDigest(It->second.Digest, Digest))
      return It->second.Team;
  return std::nullopt;
}

} // namespace mimosa
