/**
 * Runs the fault-injecting TCP proxy of `faultLink.ts` as a process of its
 * own. `POST /mode` on its admin port sets the mode.
 */
import { FaultLink } from "./faultLink.js";
import type { LinkChange } from "./faultLink.js";
import { readOptions, reply, serve } from "./support.js";

const options = readOptions({ target: "127.0.0.1:1" });
const link = await new FaultLink(() => options.target).start();
process.stdout.write(`${JSON.stringify({ proxy: link.address })}\n`);
await serve(({ res, body }) => {
  const change = JSON.parse(body.toString("utf8")) as LinkChange;
  link.set(change);
  reply(res, 200, { mode: change.mode, connections: link.connections });
});
