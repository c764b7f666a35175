/// @file
/// Table of the engines that are expected to have a prompt prefix in their KV cache.
#pragma once

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// Hash of a prompt block, chained over all preceding blocks, so that it identifies the whole
/// prefix.
using BlockHash = std::uint64_t;

/// Bytes of prompt in one block.
inline constexpr std::size_t kPromptBlockBytes = 256;

/// Most blocks of one prompt that are hashed; the rest of a longer prompt is ignored.
inline constexpr std::size_t kMaxPromptBlocks = 512;

/// Returns the chained hashes of the blocks of @p prompt for @p model. Includes the last block,
/// which may be partial or empty, so that the list is never empty.
std::vector<BlockHash> hashPromptBlocks(std::string_view model, std::string_view prompt);

/// Bounded LRU map from block hash to engine. Not thread-safe.
class PrefixTable {
 public:
  explicit PrefixTable(std::size_t capacity) : capacity_(capacity) {}

  /// Returns the engine last recorded for @p block, or null. Marks the entry as recently used.
  const std::string* find(BlockHash block);

  /// Records that @p engine has @p block in its cache.
  void put(BlockHash block, const std::string& engine);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    BlockHash block;
    std::string engine;
  };
  using Entries = boost::multi_index_container<
      Entry,
      boost::multi_index::indexed_by<boost::multi_index::sequenced<>,
                                     boost::multi_index::hashed_unique<boost::multi_index::member<
                                         Entry, BlockHash, &Entry::block>>>>;

  std::size_t capacity_;
  Entries entries_;
};

}  // namespace shedshed
