/**
 * Looks up the workspaces of one configuration by the digest of a key. The keys
 * themselves are not kept, so that dumps and logs can't reveal them.
 */
import { hash } from "node:crypto";

/** One workspace of the configuration. */
export interface Workspace {
  name: string;
  /** Digests of its keys; see `keyDigest`. */
  keyDigests: readonly string[];
  /** Overrides the route's priority unless undefined. 0 is the most urgent. */
  priority: number | undefined;
}

/** SHA-256 digest, base64, that replaces a key everywhere behind the adapter. */
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
