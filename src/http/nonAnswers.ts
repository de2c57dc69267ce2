/** What a peer may send instead of an answer: informational ones, or a switch. */
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

import { abortRequest, resetConnection } from "./abortRequest.js";

/** Informational answers (1xx) to one request; more than these are no answer. */
const MAX_INFORMATIONAL = 16;

/** Fails the request at too many informational answers, or a switch of protocols. */
export const failOnNonAnswers = (req: ClientRequest): void => {
  let count = 0;
  req.on("information", () => {
    count += 1;
    if (count > MAX_INFORMATIONAL)
      abortRequest(req, "too many informational answers");
  });
  // Node has detached the socket by then, and reports its end no more.
  req.once("upgrade", (_res, socket) => {
    resetConnection(socket as Socket);
    req.emit("error", new Error("the answer switches protocols"));
  });
};
