/** Which requests have the same digest, and which do not. */
import { expect } from "chai";

import { requestDigest } from "../../src/quarantine/index.js";

const REQUEST = {
  host: "parts.example",
  target: "/draft/7",
  workspace: "depot",
  body: Buffer.from("text"),
};

describe("the digest of a request", () => {
  it("is the same for the same host, path, caller and body", () => {
    expect(requestDigest({ ...REQUEST })).to.equal(requestDigest(REQUEST));
  });

  const others = {
    host: { host: "other.example" },
    path: { target: "/draft/8" },
    query: { target: "/draft/7?a=1" },
    "two workspaces that send the same": { workspace: "other" },
    body: { body: Buffer.from("texts") },
  };
  for (const [title, change] of Object.entries(others)) {
    it(`differs for another value: ${title}`, () => {
      const other = requestDigest({ ...REQUEST, ...change });
      expect(other).to.not.equal(requestDigest(REQUEST));
    });
  }

  it("does not confuse the end of one field with the start of the next", () => {
    const left = requestDigest({ ...REQUEST, target: "/a", workspace: "bc" });
    const right = requestDigest({ ...REQUEST, target: "/ab", workspace: "c" });
    expect(left).to.not.equal(right);
  });
});
