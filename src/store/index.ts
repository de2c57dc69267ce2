export { BudgetedStore } from "./budgetedStore.js";
export { HttpObjectStore } from "./httpObjectStore.js";
export { settledWrite } from "./settledWrite.js";
export { ABSENT } from "./types.js";
export type {
  ObjectStore,
  StoredObject,
  WatchEvent,
  WatchReply,
  WriteResult,
} from "./types.js";
export { newEraLog } from "./eraLog.js";
export { fromPosition, StoreEra, toPosition } from "./position.js";
export type { EraNews, StorePosition } from "./position.js";
export { FeedWatch, watchWaitMs } from "./feed.js";
export type {
  ConditionalWrite,
  FeedChange,
  FeedAnswer,
  FeedChanges,
  FeedItem,
  FeedList,
  ObjectFeed,
} from "./feed.js";
