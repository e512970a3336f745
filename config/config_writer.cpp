#include "config/config_writer.h"

namespace mimosa {

namespace {

ConfigChangeResult finish(ResultCode Code, std::string Message) {
  return {Code, std::move(Message), std::nullopt};
}

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

std::string describe(const Config &Document) {
  return "revision " + std::to_string(Document.ConfigRevision.number()) +
         " by change " + quoted(Document.ChangeId);
}

} // namespace

ConfigWriter::ConfigWriter(ConfigChange Change, ConfigWriterOptions Options)
    : Change(std::move(Change)), Options(Options) {}

WriteStep ConfigWriter::start() {
  if (Change.ChangeId.empty())
    return finish(ResultCode::MissingField, "change_id is missing or empty");
  Change.Document.ChangeId = Change.ChangeId;
  Change.Document.ConfigRevision = Change.ExpectedRevision.next();
  Value = printConfig(Change.Document);
  // Only a document that every host can parse may be stored.
  Result<Config> Parsed = parseConfig(Value);
  if (!ok(Parsed))
    return finish(errorOf(Parsed).Code, errorOf(Parsed).Message);
  return ReadStoredConfig{};
}

WriteStep ConfigWriter::onRead(const std::optional<StoredConfig> &Stored) {
  return nextStep(Stored);
}

WriteStep
ConfigWriter::onVersionConflict(const std::optional<StoredConfig> &Stored) {
  return nextStep(Stored);
}

WriteStep ConfigWriter::nextStep(const std::optional<StoredConfig> &Stored) {
  Config Current;
  if (Stored) {
    Result<Config> Parsed = parseConfig(Stored->Value);
    if (!ok(Parsed))
      return finish(
          ReplyLost ? ResultCode::OutcomeUnknown : ResultCode::Internal,
          "the stored document cannot be parsed: " + errorOf(Parsed).Message);
    Current = std::move(valueOf(Parsed));
  }
  if (Current.ChangeId == Change.ChangeId)
    return ConfigChangeResult{ResultCode::Ok, "", std::move(Current)};
  if (Current.ConfigRevision != Change.ExpectedRevision)
    return finishConflict(std::move(Current));
  return write(Stored ? Stored->Version : 0);
}

/// Ends the change because a document of another change is stored.
WriteStep ConfigWriter::finishConflict(Config Current) const {
  // At a revision above that of this change, a write whose reply was lost may
  // have taken effect and been replaced since.
  Revision OwnRevision = Change.ExpectedRevision.next();
  bool MayHaveBeenReplaced = ReplyLost && Current.ConfigRevision > OwnRevision;
  std::string Message = "the stored document is " + describe(Current) +
                        ", not revision " +
                        std::to_string(Change.ExpectedRevision.number());
  if (MayHaveBeenReplaced)
    Message += "; the change may have been stored before and replaced since";
  ResultCode Code =
      MayHaveBeenReplaced ? ResultCode::OutcomeUnknown : ResultCode::Conflict;
  return ConfigChangeResult{Code, std::move(Message), std::move(Current)};
}

WriteStep ConfigWriter::write(uint64_t Version) {
  if (Writes >= Options.MaxWrites)
    return finishUnconfirmed();
  ++Writes;
  return CompareAndSwapConfig{Value, Version};
}

WriteStep ConfigWriter::onReadFailed() {
  ++FailedReads;
  if (!ReplyLost || FailedReads >= Options.MaxFailedReads)
    return finishUnconfirmed();
  return ReadStoredConfig{Options.ReadRetryDelay};
}

WriteStep ConfigWriter::onWritten() {
  return ConfigChangeResult{ResultCode::Ok, "", Change.Document};
}

WriteStep ConfigWriter::onWriteFailed() { return finishUnconfirmed(); }

WriteStep ConfigWriter::onWriteReplyLost() {
  ReplyLost = true;
  return ReadStoredConfig{};
}

WriteStep ConfigWriter::finishUnconfirmed() const {
  if (ReplyLost)
    return finish(ResultCode::OutcomeUnknown,
                  "the key-value service did not confirm change " +
                      quoted(Change.ChangeId) +
                      "; read the configuration to see whether it took effect");
  return finish(ResultCode::StoreUnavailable,
                "the key-value service is unavailable; change " +
                    quoted(Change.ChangeId) + " did not take effect");
}

} // namespace mimosa
