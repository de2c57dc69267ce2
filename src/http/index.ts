export { passedHeaders } from "./headers.js";
export { exchange, ExchangeError } from "./request.js";
export type { ExchangeOptions, JsonAnswer } from "./request.js";
export {
  BodyTooLargeError,
  listen,
  readBody,
  sendJson,
  splitAddress,
} from "./server.js";
