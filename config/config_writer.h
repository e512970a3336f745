// One change of the configuration by compare-and-swap (docs/design.md, 4.4).
// The writer is a state machine; its driver does what the returned step says
// and reports the outcome:
//
//   ConfigWriter Writer({ExpectedRevision, ChangeId, std::move(Document)});
//   WriteStep Step = Writer.start();
//   // ReadStoredConfig: read ConfigStoreKey after the delay, then onRead() or
//   //   onReadFailed().
//   // CompareAndSwapConfig: write if the version matches, then onWritten(),
//   //   onVersionConflict(), onWriteFailed() or onWriteReplyLost().
//   // ConfigChangeResult: the outcome.
//
// A write whose reply was lost may have taken effect, so it is settled by
// reading back: the change id in the document tells whose write it was. The
// store accepts a write for a version only once, so writing again is safe.

#ifndef MIMOSA_CONFIG_CONFIG_WRITER_H
#define MIMOSA_CONFIG_CONFIG_WRITER_H

#include "config/config.h"

#include <optional>
#include <variant>

namespace mimosa {

/// A change that an operator asks for.
struct ConfigChange {
  /// The revision that the operator saw; 0 if there was no document.
  Revision ExpectedRevision;
  /// Unique to the change; the same one when the operator repeats it.
  std::string ChangeId;
  /// The new content; its revision and change id are set by the writer.
  Config Document;
};

/// Read the stored document.
struct ReadStoredConfig {
  /// Time to wait before the read.
  Duration Delay{};
};

/// Write the document if the key's version is \c ExpectedVersion.
struct CompareAndSwapConfig {
  std::string Value;
  /// 0 to create the key.
  uint64_t ExpectedVersion = 0;
};

/// The end of the change.
struct ConfigChangeResult {
  /// Ok: in force. Conflict: another document is in force. StoreUnavailable:
  /// the change did not take effect. OutcomeUnknown: it may have.
  /// MissingField, BadField, InvalidConfig, BodyTooLarge: refused as it is.
  ResultCode Code = ResultCode::Internal;
  std::string Message;
  /// The stored document, if it is known. For Ok it is the written one.
  std::optional<Config> StoredDocument;
};

using WriteStep =
    std::variant<ReadStoredConfig, CompareAndSwapConfig, ConfigChangeResult>;

/// The stored document as the key-value service returns it.
struct StoredConfig {
  std::string Value;
  uint64_t Version = 0;
};

struct ConfigWriterOptions {
  /// Reads that may fail after a lost reply before the outcome is unknown.
  int MaxSettleReads = 5;
  /// Wait before each repeated read.
  Duration SettleDelay = Milliseconds(200);
  /// Writes of one change, so that a store that loses every reply ends it.
  int MaxWrites = 3;
};

/// Carries out one ConfigChange.
class ConfigWriter {
public:
  explicit ConfigWriter(ConfigChange Change, ConfigWriterOptions Options = {});

  /// The first step.
  WriteStep start();

  /// The read returned \p Stored, or nothing if the key does not exist.
  WriteStep onRead(const std::optional<StoredConfig> &Stored);

  /// The read failed or timed out.
  WriteStep onReadFailed();

  /// The write took effect.
  WriteStep onWritten();

  /// The store refused the write, because the key holds \p Stored.
  WriteStep onVersionConflict(const std::optional<StoredConfig> &Stored);

  /// The write certainly did not reach the store.
  WriteStep onWriteFailed();

  /// The write may have taken effect: its reply was lost or late.
  WriteStep onWriteReplyLost();

private:
  WriteStep decide(const std::optional<StoredConfig> &Stored);
  WriteStep judgeOther(Config Current) const;
  WriteStep write(uint64_t Version);
  WriteStep finishUnavailable() const;

  ConfigChange Change;
  ConfigWriterOptions Options;
  std::string Value;
  /// True once a write may have taken effect without a reply.
  bool Unsettled = false;
  int Writes = 0;
  int FailedReads = 0;
};

} // namespace mimosa

#endif // MIMOSA_CONFIG_CONFIG_WRITER_H
