package sequoiasill

// storeRevisionBits is the number of low bits of a store version that hold the revision.
const storeRevisionBits = 40

// MaxStoreEra is the largest era that a store version can hold.
const MaxStoreEra = 1<<(64-storeRevisionBits) - 1

// MaxStoreRevision is the largest revision that a store version can hold.
const MaxStoreRevision = 1<<storeRevisionBits - 1

// StoreVersion returns the version of an object that was read from the platform's store: its
// revision and the store's era. The era rises by one each time the store comes back from a copy,
// after which revisions are given out again. Versions are ordered by era first, so that whatever
// was read in a later era is newer.
func StoreVersion(era, revision uint64) uint64 {
	return era<<storeRevisionBits | revision&(1<<storeRevisionBits-1)
}

// StoreEra returns the era of a store version.
func StoreEra(version uint64) uint64 { return version >> storeRevisionBits }

// StoreRevision returns the revision of a store version, which is unique in its era only.
func StoreRevision(version uint64) uint64 { return version & (1<<storeRevisionBits - 1) }
