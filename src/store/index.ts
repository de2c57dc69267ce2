export { BudgetedStore } from "./budgetedStore.js";
export { HttpObjectStore } from "./httpObjectStore.js";
export { CountedFeed } from "./countedFeed.js";
export { confirmedWrite } from "./confirmedWrite.js";
export { ABSENT } from "./types.js";
export type {
  ObjectStore,
  StoredObject,
  WatchEvent,
  WatchReply,
  WriteResult,
} from "./types.js";
export { newEraLogger } from "./eraLog.js";
export { decodePosition, StoreEra, encodePosition } from "./position.js";
export type { EraUpdate, StorePosition } from "./position.js";
export { FeedWatch, watchWaitMs } from "./feedWatch.js";
export type { FeedAnswer, StoreStability } from "./feedWatchOptions.js";
export { maxChangePauseMs, StoreRecovery } from "./watchPauses.js";
export type { ChangeBounds } from "./watchPauses.js";
export {
  HolderVouches,
  MIN_VOUCHED_ENTRIES,
  revisionsToSend,
} from "./holderVouches.js";
export { RevisionFilter } from "./revisionFilter.js";
export type { HolderNews, SeenRevision } from "./holderVouches.js";
export type {
  ConditionalWriteResult,
  FeedChange,
  FeedChanges,
  FeedItem,
  FeedList,
  ObjectFeed,
} from "./feed.js";
