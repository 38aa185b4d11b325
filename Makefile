BIN := bin
PROGRAMS := radishweir radishweirctl standin load
MODULES := lib platform $(PROGRAMS) tools proof

.PHONY: build test demo lint slopes generate gopls

build: ## Builds every program into bin/.
	@mkdir -p $(BIN)
	@for p in $(PROGRAMS); do go build -o $(BIN)/$$p ./$$p || exit 1; done

test: build ## Runs every test with the race detector.
	@.ci/test $(MODULES)

demo: build ## Runs the whole system on loopback and prints a report.
	@scripts/demo

lint: ## Checks formatting, style and common mistakes.
	@.ci/lint $(MODULES)

slopes: build ## Measures the slopes of docs/CAPACITY.md.
	@scripts/slopes

generate: ## Regenerates lib/wire and platform/schema from their schemas.
	go build -o $(BIN)/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=$(BIN)/protoc-gen-go --go_out=lib --go_opt=module=radishweir.org/lib -I lib/wire wire.proto peer.proto
	@scripts/schema

gopls: ## Builds the language server that renames identifiers.
	cd tools && GOWORK=off go build -modfile=gopls.mod -o ../$(BIN)/gopls golang.org/x/tools/gopls
