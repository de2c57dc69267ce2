/** HTTP client of the object API; see docs/PROTOCOLS.md for its format. */
import { exchange, ExchangeError } from "../http/index.js";
import type { JsonResponse } from "../http/index.js";
import { StoreError } from "../shared/errors.js";
import { errText } from "../shared/utils.js";
import { ABSENT } from "./types.js";
import type {
  ObjectStore,
  StoredObject,
  WatchReply,
  WriteResult,
} from "./types.js";

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_TOO_MANY = 429;
const HTTP_UNAVAILABLE = 503;
/** Added to the server's wait before a watch call times out, ms. */
const WATCH_TIMEOUT_MARGIN_MS = 1000;
const WRITE_ID_HEADER = "x-write-id";

/** `ObjectStore` over HTTP; `timeoutMs` applies to each call. */
export class HttpObjectStore implements ObjectStore {
  constructor(
    private readonly url: string,
    private readonly timeoutMs: number,
  ) {}

  async get<T>(
    kind: string,
    name: string,
  ): Promise<StoredObject<T> | undefined> {
    const answer = await this.read(this.path(kind, name), this.timeoutMs);
    if (answer.status === HTTP_NOT_FOUND) return undefined;
    return JSON.parse(answer.text) as StoredObject<T>;
  }

  async list<T>(kind: string): Promise<StoredObject<T>[]> {
    const path = `/v1/objects/${encodeURIComponent(kind)}`;
    const answer = await this.read(path, this.timeoutMs);
    return (JSON.parse(answer.text) as { items: StoredObject<T>[] }).items;
  }

  async watch(
    kinds: string[],
    revision: number,
    waitMs: number,
  ): Promise<WatchReply> {
    const query = `kinds=${kinds.join(",")}&since=${revision}&waitMs=${waitMs}`;
    const answer = await this.read(
      `/v1/watch?${query}`,
      waitMs + WATCH_TIMEOUT_MARGIN_MS,
    );
    return JSON.parse(answer.text) as WatchReply;
  }

  async put<T>(
    kind: string,
    name: string,
    value: T,
    expected: number,
    writeId: string,
  ): Promise<WriteResult<T>> {
    const condition: Record<string, string> =
      expected === ABSENT
        ? { "if-none-match": "*" }
        : { "if-match": `"${expected}"` };
    try {
      const answer = await exchange({
        method: "PUT",
        url: this.url + this.path(kind, name),
        headers: { ...condition, [WRITE_ID_HEADER]: writeId },
        body: value,
        timeoutMs: this.timeoutMs,
      });
      return this.writeResult<T>(answer);
    } catch (err) {
      const why = errText(err);
      const isSent = err instanceof ExchangeError && err.sent;
      return { kind: isSent ? "unknown" : "refused", why };
    }
  }

  private writeResult<T>(answer: JsonResponse): WriteResult<T> {
    switch (answer.status) {
      case HTTP_OK: {
        const { version } = JSON.parse(answer.text) as { version: number };
        return { kind: "written", version };
      }
      case HTTP_CONFLICT: {
        const { current } = JSON.parse(answer.text) as {
          current?: StoredObject<T>;
        };
        return { kind: "conflict", current };
      }
      case HTTP_TOO_MANY:
      case HTTP_UNAVAILABLE:
        return { kind: "refused", why: `status ${answer.status}` };
      default:
        return { kind: "unknown", why: `status ${answer.status}` };
    }
  }

  private path(kind: string, name: string): string {
    const names = [kind, name].map(encodeURIComponent);
    return `/v1/objects/${names.join("/")}`;
  }

  private async read(path: string, timeoutMs: number): Promise<JsonResponse> {
    let answer: JsonResponse;
    try {
      const url = this.url + path;
      answer = await exchange({ method: "GET", url, timeoutMs });
    } catch (err) {
      throw new StoreError(`object API: ${errText(err)}`);
    }
    const isAnswer =
      answer.status === HTTP_OK || answer.status === HTTP_NOT_FOUND;
    if (!isAnswer) throw new StoreError(`object API: ${answer.status}`);
    return answer;
  }
}
