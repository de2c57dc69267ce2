/** Bounds the informational answers (1xx) that precede the answer to a request. */
import type { ClientRequest } from "node:http";

/** More than these are no answer. */
const MAX_INFORMATIONAL = 16;

/** Fails the request once there are too many of them. */
export const boundInformational = (req: ClientRequest): void => {
  let count = 0;
  req.on("information", () => {
    count += 1;
    if (count > MAX_INFORMATIONAL)
      req.destroy(new Error("too many informational answers"));
  });
};
