/** Sends a request to a stand-in server with the client for replicas. */
import type { Server } from "node:http";

import type { UpstreamClient } from "../../src/gateway/upstreamClient.js";
import type { UpstreamReply } from "../../src/gateway/upstreamReply.js";
import { listen } from "../../src/http/index.js";
import type { Cancellation } from "../../src/shared/cancellation.js";

/** Starts the server and resolves with the head of its reply to one request. */
export const sendTo = async (
  server: Server,
  client: UpstreamClient,
  cancellation: Cancellation,
): Promise<UpstreamReply> => {
  const sent = await client.send({
    service: "model",
    address: await listen(server, "127.0.0.1:0"),
    method: "GET",
    target: "/",
    headers: ["Host", "x"],
    body: Buffer.alloc(0),
    cancellation,
  });
  if (sent.kind === "failed") throw new Error(sent.why);
  return sent;
};
