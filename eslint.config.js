import tseslint from "typescript-eslint";

export default tseslint.config(
  {
    ignores: [
      "dist/",
      "target/",
      "journal/",
      "node_modules/",
      "src/gen/",
      "eslint.config.js",
    ],
  },
  ...tseslint.configs.recommended,
  {
    rules: {
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/no-unused-expressions": "off",
      "prefer-const": "error",
      eqeqeq: "error",
      "max-depth": ["error", 4],
    },
  },
);
