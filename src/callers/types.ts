/** Why a connection was closed. */
export type CloseReason =
  /** There are too many, and it has rested for longest. */
  | "too-many-connections"
  /** Requests that wait for their turn on it are too many. */
  | "sent-ahead"
  /** Callers hold too much memory, and it has held most for longest. */
  | "memory"
  /** More of a refused body came than is read away. */
  | "body-not-ended";
