/**
 * Stand-in of the weight store: a model's weights take time, and only so
 * many downloads go at once.
 */
import { readOptions, reply, serve } from "./support.js";

const options = readOptions({ downloadMs: 200, atOnce: 2 });
let running = 0;
const waiting: (() => void)[] = [];

const next = (): void => {
  if (running >= options.atOnce) return;
  const start = waiting.shift();
  if (start === undefined) return;
  running += 1;
  start();
};

await serve(({ res, url }) => {
  waiting.push(() => {
    setTimeout(() => {
      running -= 1;
      reply(res, 200, { weights: url.pathname });
      next();
    }, options.downloadMs);
  });
  next();
});
