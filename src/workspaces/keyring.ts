/**
 * The workspaces of one configuration, found by the digest of a key. Keys
 * themselves are not kept: a process that is dumped or logged shows none.
 */
import { hash } from "node:crypto";

/** One workspace of the configuration. */
export interface Workspace {
  name: string;
  /** Digests of its keys, as `keyDigest` makes them. */
  keyDigests: readonly string[];
  /** Goes before a route's; undefined: the route's holds. 0 is most urgent. */
  priority: number | undefined;
}

/** What stands for a key everywhere behind the adapter. */
export const keyDigest = (key: string): string => hash("sha256", key, "base64");

export class Keyring {
  private readonly byDigest = new Map<string, Workspace>();

  constructor(workspaces: readonly Workspace[]) {
    for (const workspace of workspaces) {
      for (const digest of workspace.keyDigests) {
        this.byDigest.set(digest, workspace);
      }
    }
  }

  find(digest: string | undefined): Workspace | undefined {
    return digest === undefined ? undefined : this.byDigest.get(digest);
  }
}
