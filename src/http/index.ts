export { abortRequest, resetConnection } from "./abortRequest.js";
export { bodyFraming, isHalfJson, onResetAtEnd } from "./bodyFraming.js";
export type { BodyFraming } from "./bodyFraming.js";
export { receiveAnswer } from "./nonAnswers.js";
export { forwardedHeaders } from "./headers.js";
export { abortOpenExchanges, exchange, ExchangeError } from "./request.js";
export type { ExchangeOptions, JsonResponse } from "./request.js";
export {
  BodyTooLargeError,
  listen,
  readBody,
  sendJson,
  splitAddress,
} from "./server.js";
