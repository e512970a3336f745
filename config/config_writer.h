// Changes the stored configuration by compare-and-swap (docs/design.md, 4.4).
// ConfigWriter is a state machine for one change that performs no I/O; its
// driver carries out the step that each call returns and reports the outcome:
//
//   ConfigWriter Writer({ExpectedRevision, ChangeId, std::move(Document)});
//   WriteStep Step = Writer.start();
//   // ReadStoredConfig: read ConfigStoreKey after the delay, then call
//   //   onRead() or onReadFailed().
//   // CompareAndSwapConfig: write if the version matches, then call
//   //   onWritten(), onVersionConflict(), onWriteFailed() or
//   //   onWriteReplyLost().
//   // ConfigChangeResult: the change has ended.
//
// A write whose reply was lost may have taken effect. The writer then reads the
// document again: its change id shows which change wrote it. Since the store
// accepts only one write for a version, repeating the write is safe.

#ifndef MIMOSA_CONFIG_CONFIG_WRITER_H
#define MIMOSA_CONFIG_CONFIG_WRITER_H

#include "config/config.h"

#include <optional>
#include <variant>

namespace mimosa {

/// A change requested by an operator.
struct ConfigChange {
  /// The revision that the operator saw; 0 if there was no document.
  Revision ExpectedRevision;
  /// Unique for each change; an operator who repeats a change uses the same id.
  std::string ChangeId;
  /// The new content; the writer sets its revision and change id.
  Config Document;
};

/// A step: read the stored document.
struct ReadStoredConfig {
  /// Time to wait before the read.
  Duration Delay{};
};

/// A step: write \c Value if the version of the key is \c ExpectedVersion.
struct CompareAndSwapConfig {
  std::string Value;
  /// 0 to create the key.
  uint64_t ExpectedVersion = 0;
};

/// The last step: the outcome of the change.
struct ConfigChangeResult {
  /// Ok: the document is stored. Conflict: a document of another change is
  /// stored. StoreUnavailable: the change did not take effect. OutcomeUnknown:
  /// it may have taken effect. Internal: the stored document cannot be parsed.
  /// MissingField, InvalidConfig, BodyTooLarge: the change is not valid and was
  /// not written.
  ResultCode Code = ResultCode::Internal;
  std::string Message;
  /// The stored document, if known. For Ok it is the one written by the change.
  std::optional<Config> StoredDocument;
};

using WriteStep =
    std::variant<ReadStoredConfig, CompareAndSwapConfig, ConfigChangeResult>;

/// The document as the key-value service returns it, not yet parsed.
struct StoredConfig {
  std::string Value;
  uint64_t Version = 0;
};

struct ConfigWriterOptions {
  /// After a lost reply to a write, the number of failed reads at which the
  /// change ends with OutcomeUnknown.
  int MaxFailedReads = 5;
  /// Wait before a read that follows a failed one.
  Duration ReadRetryDelay = Milliseconds(200);
  /// Writes per change, so that a change ends if every reply is lost.
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

  /// The store rejected the write, because the key now holds \p Stored.
  WriteStep onVersionConflict(const std::optional<StoredConfig> &Stored);

  /// The write failed and did not take effect.
  WriteStep onWriteFailed();

  /// The reply was lost or late, so the write may have taken effect.
  WriteStep onWriteReplyLost();

private:
  WriteStep nextStep(const std::optional<StoredConfig> &Stored);
  WriteStep finishConflict(Config Current) const;
  WriteStep write(uint64_t Version);
  WriteStep finishUnconfirmed() const;

  ConfigChange Change;
  ConfigWriterOptions Options;
  std::string Value;
  /// True once the reply to a write was lost.
  bool ReplyLost = false;
  int Writes = 0;
  int FailedReads = 0;
};

} // namespace mimosa

#endif // MIMOSA_CONFIG_CONFIG_WRITER_H
