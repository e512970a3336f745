// Settings from flags, environment variables and a file. Each setting is a flag
// --some-name, a variable MIMOSA_SOME_NAME and a line "some-name=value" of the
// file; a flag wins over a variable, and a variable over the file.
//
//   Settings Parser("mimosad", "entry daemon of mimosawall");
//   Parser.text("listen", "address for callers, ip:port", &Options.Listen);
//   Parser.number("drain-ms", "...", &Options.DrainMs, 0, 600000);
//   if (auto Exit = Parser.parse(Argc, Argv))
//     return *Exit;

#ifndef MIMOSA_RUNTIME_SETTINGS_H
#define MIMOSA_RUNTIME_SETTINGS_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosa {

/// The items of a comma-separated setting; empty ones are left out.
std::vector<std::string> splitList(const std::string &List);

class Settings {
public:
  /// \p Arguments describes what follows the flags, such as "COMMAND [FILE]";
  /// empty if nothing may follow.
  Settings(std::string Program, std::string Purpose,
           std::string Arguments = "");
  ~Settings();

  /// A text setting; the value on entry is the default. A required one must
  /// not be empty after parsing.
  void text(const char *Name, const char *Help, std::string *Value,
            bool Required = false);
  /// A whole number in [\p Lowest, \p Highest].
  void number(const char *Name, const char *Help, int64_t *Value,
              int64_t Lowest, int64_t Highest);
  /// A flag without a value; the variable is "1" or "0".
  void toggle(const char *Name, const char *Help, bool *Value);

  /// A number in [\p Lowest, \p Highest] that may have a fraction.
  void decimal(const char *Name, const char *Help, double *Value, double Lowest,
               double Highest);
  /// Adds the setting "settings-file"; parse() reads the file that it names.
  void fileSetting(std::string *Path);
  /// Reads "name=value" lines again, for a reload. Lines without a value and
  /// unknown names are skipped. The problem, or nothing.
  std::string readFile(const std::string &Path);
  /// All problems of a file or of a template of one: names that do not exist,
  /// and values out of range. The value of a line that contains "{{" is filled
  /// in later; only its name is checked.
  std::vector<std::string> validateFile(const std::string &Path);

  /// Reads the file that a flag or variable names, then variables, then flags.
  /// Returns an exit status if the
  /// program should end: 0 after --help or --version, 2 after an error, which
  /// is printed.
  std::optional<int> parse(int Argc, const char *const *Argv);

  /// What followed the flags.
  const std::vector<std::string> &arguments() const { return Rest; }

private:
  struct Setting;
  Setting *find(const std::string &Name);
  std::string assign(Setting &S, const std::string &Value,
                     const std::string &Label);
  std::string readVariables();
  std::string readFlags(int Argc, const char *const *Argv, bool *Version);
  std::string checkRequired() const;

  std::string Program;
  std::string Purpose;
  std::string Arguments;
  std::vector<std::unique_ptr<Setting>> All;
  std::vector<std::string> Rest;
  std::string *FilePath = nullptr;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_SETTINGS_H
