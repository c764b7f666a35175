# shellcheck shell=bash
# Lists the sources of the repository by language, one path a line. Needs the root as folder.

tracked_files() {
  git ls-files -co --exclude-standard -- . ':!journal'
}

cpp_sources() {
  tracked_files | grep -E '\.(cpp|h)$'
}

# Prints the tracked files whose first line matches $1.
files_with_shebang() {
  tracked_files | while read -r file; do
    if [ -f "$file" ] && head -n 1 "$file" | grep -aqE "$1"; then
      echo "$file"
    fi
  done
}

python_sources() {
  {
    tracked_files | grep -E '\.py$'
    files_with_shebang '^#!.*python'
  } | sort -u
}

shell_sources() {
  {
    tracked_files | grep -E '\.sh$'
    files_with_shebang '^#!.*bash'
  } | sort -u
}
