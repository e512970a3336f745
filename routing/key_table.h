// The keys by which teams identify their requests. Only keyed digests of the
// keys (HMAC-SHA-256, RFC 2104) are kept, so that neither a copy of the memory
// nor the configuration that hosts pass on to each other contains a key.
//
//   KeyTable Keys(KeyTable::randomSalt());
//   Keys.add(digestOf(Keys.salt(), "secret"), 3);
//   std::optional<size_t> Team = Keys.find("secret");
//
// A lookup takes a time that does not depend on how much of a key is right:
// digests of a presented key cannot be predicted without the salt, and the
// final comparison looks at all bytes.

#ifndef MIMOSA_ROUTING_KEY_TABLE_H
#define MIMOSA_ROUTING_KEY_TABLE_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mimosa {

/// Longest key that a team may have, in bytes. A longer one could not be
/// presented in a request's headers.
constexpr size_t MaxKeyBytes = 4096;

/// A digest of a key with a salt.
using KeyDigest = std::array<uint8_t, 32>;
/// Makes the digests of one configuration useless for another one.
using KeySalt = std::array<uint8_t, 32>;

KeyDigest digestOf(const KeySalt &Salt, std::string_view Key);

/// Lower-case hexadecimal form of a digest or salt, and back; empty if
/// \p Text is not one.
std::string hexOf(const std::array<uint8_t, 32> &Bytes);
std::optional<std::array<uint8_t, 32>> parseHex(std::string_view Text);

class KeyTable {
public:
  explicit KeyTable(const KeySalt &Salt = {}) : Salt(Salt) {}

  static KeySalt randomSalt();

  const KeySalt &salt() const { return Salt; }
  /// Adds a key of the team with the index \p Team; false if a team has it
  /// already.
  bool add(const KeyDigest &Digest, size_t Team);
  /// The index of the team that has \p Key; empty if none has.
  std::optional<size_t> find(std::string_view Key) const;
  size_t size() const { return Entries.size(); }

private:
  struct Entry {
    KeyDigest Digest;
    size_t Team;
  };

  KeySalt Salt;
  /// By the first eight bytes of the digest.
  std::unordered_multimap<uint64_t, Entry> Entries;
};

} // namespace mimosa

#endif // MIMOSA_ROUTING_KEY_TABLE_H
